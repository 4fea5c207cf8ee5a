import VError from 'verror';
import type { Finding } from './Finding.js';
import { formatFinding } from './formatFinding.js';

/** Reports all findings of an input that was refused; nothing of the input was applied. */
export class FindingsError extends VError {
  readonly #findings: readonly Finding[];

  constructor(what: string, findings: readonly Finding[]) {
    super(
      { name: 'FindingsError' },
      '%s',
      [`${what}: ${findings.length} finding(s)`, ...findings.map(formatFinding)].join('\n'),
    );
    this.#findings = findings;
  }

  get findings(): readonly Finding[] {
    return this.#findings;
  }
}
