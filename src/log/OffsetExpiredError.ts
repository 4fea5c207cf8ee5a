import VError from 'verror';

/** The requested offset has been removed by retention. */
export class OffsetExpiredError extends VError {
  readonly #earliest: number;

  constructor(stream: string, from: number, earliest: number) {
    super(
      { name: 'OffsetExpiredError' },
      'stream "%s": offset %d has expired, the earliest is %d',
      stream,
      from,
      earliest,
    );
    this.#earliest = earliest;
  }

  get earliest(): number {
    return this.#earliest;
  }
}
