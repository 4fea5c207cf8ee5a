import VError from 'verror';

/** The platform gave no usable answer. An append may have taken effect all the same. */
export class LogUnavailableError extends VError {
  constructor(cause: Error | undefined, message: string) {
    super({ name: 'LogUnavailableError', cause }, '%s', message);
  }
}
