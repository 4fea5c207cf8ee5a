/** No response was received: the order may have been executed, or may still be. */
export class OrderUnansweredError extends Error {
  override name = 'OrderUnansweredError';
}
