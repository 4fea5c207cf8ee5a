/** The order did not leave this process, so the host did not receive it. */
export class OrderUnsentError extends Error {
  override name = 'OrderUnsentError';
}
