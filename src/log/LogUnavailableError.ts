import VError from 'verror';

/** A request to the platform's log failed. A failed append may have taken effect nevertheless. */
export class LogUnavailableError extends VError {
  constructor(cause: Error | undefined, message: string) {
    super({ name: 'LogUnavailableError', cause }, '%s', message);
  }
}
