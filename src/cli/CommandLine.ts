import sade from 'sade';
import { FindingsError } from '../finding/mod.js';
import { EXIT_FAILURE, EXIT_USAGE, type Command, type CommandOption } from './Command.js';
import { ControllerGroup } from './ControllerGroup.js';
import { Output, type TextWriter } from './Output.js';
import { UsageError } from './UsageError.js';

const PROGRAM = 'buckthornreach';
const VERSION = '0.1.0';
const DEFAULT_CONTROLLER = '127.0.0.1:7100';

/** Output streams of a command line. */
export interface CommandLineOptions {
  write: TextWriter;
  writeError: TextWriter;
}

function getOptionName({ name }: CommandOption): string {
  return name;
}

/** Parses arguments, runs the selected command and maps errors to exit codes. */
export class CommandLine {
  readonly #commands: readonly Command[];

  readonly #options: CommandLineOptions;

  constructor(commands: readonly Command[], options: CommandLineOptions) {
    this.#commands = commands;
    this.#options = options;
  }

  /**
   * Runs a command and returns its exit code.
   *
   * @param argv Arguments without the paths of Node.js and of the script.
   */
  async run(argv: readonly string[]): Promise<number> {
    // sade exits with code 1 on parse errors, which must exit with `EXIT_USAGE` instead.
    const setUsageExitCode = (): void => {
      process.exitCode = EXIT_USAGE;
    };
    process.once('exit', setUsageExitCode);
    const parsed = this.#buildProgram().parse(['node', PROGRAM, ...argv], {
      lazy: true,
      unknown: (flag: string) => `Unknown option: ${flag}`,
    });
    process.removeListener('exit', setUsageExitCode);
    // sade has already printed the help or the version.
    if (parsed === undefined) return 0;
    try {
      return await parsed.handler(...parsed.args);
    } catch (error) {
      this.#options.writeError(`${(error as Error).message}\n`);
      const isUsage = error instanceof UsageError || error instanceof FindingsError;
      return isUsage ? EXIT_USAGE : EXIT_FAILURE;
    }
  }

  #buildProgram(): sade.Sade {
    const program = sade(PROGRAM)
      .version(VERSION)
      .option(
        '--controller',
        'Controller addresses, comma-separated, tried in turn',
        DEFAULT_CONTROLLER,
      )
      .option('--json', 'Print the result as JSON', false);
    this.#commands.forEach((command) => {
      program.command(command.usage, command.summary);
      command.options.forEach(({ name, summary, isFlag }) =>
        program.option(`--${name}`, summary, isFlag ? false : undefined),
      );
      command.examples.forEach((example) => program.example(example));
      program.action((...args: unknown[]) => this.#runCommand(command, args));
    });
    return program;
  }

  async #runCommand(command: Command, rawArgs: unknown[]): Promise<number> {
    const options = rawArgs.at(-1) as Record<string, unknown> & { _: unknown[] };
    const positionalArgs = rawArgs.slice(0, -1).filter((one) => one !== undefined);
    const args = [...positionalArgs, ...options._].map(String);
    command.checkArguments(args);
    const emptyOption = [
      'controller',
      ...command.options.filter((one) => !one.isFlag).map(getOptionName),
    ].find((name) => [options[name]].flat().some((value) => value === '' || value === true));
    if (emptyOption !== undefined) throw new UsageError(`--${emptyOption} needs a value`);
    const addresses = [options.controller].flat().flatMap((value) => String(value).split(','));
    return command.run({
      args,
      options,
      output: new Output({ ...this.#options, isJson: options.json === true }),
      controllers: new ControllerGroup(addresses.filter((address) => address !== '')),
    });
  }
}
