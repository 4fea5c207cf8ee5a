import VError from 'verror';

/** Invalid command-line usage. */
export class UsageError extends VError {
  constructor(message: string) {
    super({ name: 'UsageError' }, '%s', message);
  }
}
