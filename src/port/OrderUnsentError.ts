/** The order was not sent, so the host did not receive it. */
export class OrderUnsentError extends Error {
  override name = 'OrderUnsentError';
}
