/** The request body exceeds the size limit. */
export class BodyTooLargeError extends Error {
  override name = 'BodyTooLargeError';
}
