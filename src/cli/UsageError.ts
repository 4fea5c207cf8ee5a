import VError from 'verror';

/** The command line was used in a way that it does not understand. */
export class UsageError extends VError {
  constructor(message: string) {
    super({ name: 'UsageError' }, '%s', message);
  }
}
