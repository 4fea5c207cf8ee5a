/** The store was unreachable or rejected the request; nothing was changed. */
export class StoreRefusedError extends Error {
  override name = 'StoreRefusedError';
}
