import VError from 'verror';
import type { Finding } from './Finding.js';
import { formatFinding } from './formatFinding.js';

/** Carries all findings of a rejected input, of which nothing was applied. */
export class FindingsError extends VError {
  readonly #findings: readonly Finding[];

  constructor(input: string, findings: readonly Finding[]) {
    super(
      { name: 'FindingsError' },
      '%s',
      [`${input}: ${findings.length} finding(s)`, ...findings.map(formatFinding)].join('\n'),
    );
    this.#findings = findings;
  }

  get findings(): readonly Finding[] {
    return this.#findings;
  }
}
