/** No response was received: the change may have been made, or may still be made later. */
export class StoreUnansweredError extends Error {
  override name = 'StoreUnansweredError';
}
