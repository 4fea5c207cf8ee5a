import VError from 'verror';

/** A record source returned an invalid response. */
export class SourceFaultError extends VError {
  constructor(source: string, message: string) {
    super({ name: 'SourceFaultError' }, 'source "%s": %s', source, message);
  }
}
