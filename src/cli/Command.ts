import type { ControllerGroup } from './ControllerGroup.js';
import type { Output } from './Output.js';
import { UsageError } from './UsageError.js';

/** Exit codes of the command line. */
export const EXIT_OK = 0;
export const EXIT_FAILURE = 1;
export const EXIT_USAGE = 2;

/** An option of a command: a flag, or one that takes a value. */
export interface CommandOption {
  name: string;
  summary: string;
  isFlag?: boolean;
}

/** What a command was called with. */
export interface CommandCall {
  /** Arguments in their order. */
  args: string[];
  options: Record<string, unknown>;
  output: Output;
  controllers: ControllerGroup;
}

/** One command of the command line: thin over the library, which does not print. */
export abstract class Command {
  /** Name with its arguments, for example `host <name>`. */
  abstract readonly usage: string;

  abstract readonly summary: string;

  /** Arguments and options of examples, without the name of the program. */
  abstract readonly examples: readonly string[];

  readonly options: readonly CommandOption[] = [];

  /** Most arguments that the command takes. */
  readonly maxArguments: number = 0;

  /**
   * Runs the command and returns its exit code.
   *
   * @throws `UsageError` or `FindingsError` for exit code 2; any other error gives 1.
   */
  abstract run(call: CommandCall): Promise<number>;

  /** Reads the values of an option that may be given several times or with commas. */
  protected static listValues(call: CommandCall, name: string): string[] {
    return [call.options[name] ?? []]
      .flat()
      .flatMap((value) => String(value).split(','))
      .filter((value) => value !== '');
  }

  /** Reads the option `--revision`; undefined when it is absent. */
  protected static readRevision({ options }: CommandCall): number | undefined {
    if (options.revision === undefined) return undefined;
    const revision = Number(options.revision);
    if (Number.isInteger(revision) && revision >= 0) return revision;
    throw new UsageError(`--revision: expected a revision, got "${String(options.revision)}"`);
  }

  /** Checks that there are not more arguments than the command takes. */
  checkArguments(args: readonly string[]): void {
    const extra = args[this.maxArguments];
    if (extra !== undefined) throw new UsageError(`unexpected argument "${extra}"`);
  }
}
