import VError from 'verror';

/** A source of records gave an answer that cannot be right. */
export class SourceFaultError extends VError {
  constructor(source: string, message: string) {
    super({ name: 'SourceFaultError' }, 'source "%s": %s', source, message);
  }
}
