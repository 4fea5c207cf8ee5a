/** The store was not reached or refused; nothing was done. */
export class StoreRefusedError extends Error {
  override name = 'StoreRefusedError';
}
