/** No answer came: the order may have been carried out, or may be later. */
export class OrderUnansweredError extends Error {
  override name = 'OrderUnansweredError';
}
