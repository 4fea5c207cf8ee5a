import type { ControllerGroup } from './ControllerGroup.js';
import type { Output } from './Output.js';
import { UsageError } from './UsageError.js';

/** Exit codes of the command line. */
export const EXIT_OK = 0;
export const EXIT_FAILURE = 1;
export const EXIT_USAGE = 2;

/** A command-line option, either a flag or an option with a value. */
export interface CommandOption {
  name: string;
  summary: string;
  isFlag?: boolean;
}

/** Parsed arguments of a command and the services that it uses. */
export interface CommandContext {
  /** Positional arguments. */
  args: string[];
  options: Record<string, unknown>;
  output: Output;
  controllers: ControllerGroup;
}

/** A command of the command line. Commands print results; the library that they call does not. */
export abstract class Command {
  /** Command name and positional arguments, for example `host <name>`. */
  abstract readonly usage: string;

  abstract readonly summary: string;

  /** Example invocations, without the program name. */
  abstract readonly examples: readonly string[];

  readonly options: readonly CommandOption[] = [];

  /** Maximum number of positional arguments. */
  readonly maxArguments: number = 0;

  /**
   * Runs the command and returns its exit code.
   *
   * @throws `UsageError` or `FindingsError`, which exit with code 2. Other errors exit with code 1.
   */
  abstract run(context: CommandContext): Promise<number>;

  /** Lists the values of an option that can be repeated or comma-separated. */
  protected static listValues(context: CommandContext, name: string): string[] {
    return [context.options[name] ?? []]
      .flat()
      .flatMap((value) => String(value).split(','))
      .filter((value) => value !== '');
  }

  /**
   * Reads the option `--revision`. Returns `undefined` if it is absent.
   *
   * @throws `UsageError` if the value is not a non-negative integer.
   */
  protected static readRevision({ options }: CommandContext): number | undefined {
    if (options.revision === undefined) return undefined;
    const revision = Number(options.revision);
    if (Number.isInteger(revision) && revision >= 0) return revision;
    throw new UsageError(
      `--revision: expected a non-negative integer, got "${String(options.revision)}"`,
    );
  }

  /**
   * Checks the number of positional arguments.
   *
   * @throws `UsageError` if there are more than `maxArguments`.
   */
  checkArguments(args: readonly string[]): void {
    const extra = args[this.maxArguments];
    if (extra !== undefined) throw new UsageError(`unexpected argument "${extra}"`);
  }
}
