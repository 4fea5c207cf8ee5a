import { renderTable, type Cell } from './renderTable.js';

/** Writes text to one of the streams of the process. */
export type TextWriter = (text: string) => void;

/** What a command prints: JSON for machines, or text for people. */
export class Output {
  readonly #write: TextWriter;

  readonly #writeError: TextWriter;

  readonly isJson: boolean;

  constructor(options: { write: TextWriter; writeError: TextWriter; isJson: boolean }) {
    this.#write = options.write;
    this.#writeError = options.writeError;
    this.isJson = options.isJson;
  }

  /** Prints a value as JSON, or the text that stands for it. */
  print(value: unknown, renderText: () => string): void {
    const text = this.isJson ? JSON.stringify(value, null, 2) : renderText();
    this.#write(text.endsWith('\n') ? text : `${text}\n`);
  }

  /** Prints rows as JSON, or as a table. */
  printRows(value: unknown, rows: readonly Record<string, Cell>[]): void {
    this.print(value, () => renderTable(rows));
  }

  /** Prints a line to standard error, for example for a part that is missing. */
  report(line: string): void {
    this.#writeError(`${line}\n`);
  }
}
