import { renderTable, type Cell } from './renderTable.js';

/** Writes text to one of the streams of the process. */
export type TextWriter = (text: string) => void;

/** Prints the results of a command, as JSON or as human-readable text. */
export class Output {
  readonly #write: TextWriter;

  readonly #writeError: TextWriter;

  readonly isJson: boolean;

  constructor(options: { write: TextWriter; writeError: TextWriter; isJson: boolean }) {
    this.#write = options.write;
    this.#writeError = options.writeError;
    this.isJson = options.isJson;
  }

  /** Prints a value as JSON or as the rendered text. */
  print(value: unknown, renderText: () => string): void {
    const text = this.isJson ? JSON.stringify(value, null, 2) : renderText();
    this.#write(text.endsWith('\n') ? text : `${text}\n`);
  }

  /** Prints a value as JSON or as a table of rows. */
  printRows(value: unknown, rows: readonly Record<string, Cell>[]): void {
    this.print(value, () => renderTable(rows));
  }

  /** Prints a line to standard error, for example when a process did not answer. */
  report(line: string): void {
    this.#writeError(`${line}\n`);
  }
}
