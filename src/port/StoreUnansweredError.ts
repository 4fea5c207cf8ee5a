/** The store gave no answer, so a change may or may not have been made, now or later. */
export class StoreUnansweredError extends Error {
  override name = 'StoreUnansweredError';
}
