import sade from 'sade';
import { FindingsError } from '../finding/mod.js';
import { EXIT_FAILURE, EXIT_USAGE, type Command, type CommandOption } from './Command.js';
import { ControllerGroup } from './ControllerGroup.js';
import { Output, type TextWriter } from './Output.js';
import { UsageError } from './UsageError.js';

const PROGRAM = 'buckthornreach';
const VERSION = '0.1.0';
const DEFAULT_CONTROLLER = '127.0.0.1:7100';

/** Options of a command line. */
export interface CommandLineOptions {
  write: TextWriter;
  writeError: TextWriter;
}

function readName({ name }: CommandOption): string {
  return name;
}

/** The program with its commands. */
export class CommandLine {
  readonly #commands: readonly Command[];

  readonly #options: CommandLineOptions;

  constructor(commands: readonly Command[], options: CommandLineOptions) {
    this.#commands = commands;
    this.#options = options;
  }

  /** Runs the command of the arguments, without the names of node and of the script. */
  async run(argv: readonly string[]): Promise<number> {
    // sade ends the process with code 1 when it cannot parse; usage errors have a code of their own.
    const markUsage = (): void => {
      process.exitCode = EXIT_USAGE;
    };
    process.once('exit', markUsage);
    const parsed = this.#build().parse(['node', PROGRAM, ...argv], {
      lazy: true,
      unknown: (flag: string) => `Unknown option: ${flag}`,
    });
    process.removeListener('exit', markUsage);
    // The help and the version have been printed.
    if (parsed === undefined) return 0;
    try {
      return await parsed.handler(...parsed.args);
    } catch (error) {
      this.#options.writeError(`${(error as Error).message}\n`);
      const isUsage = error instanceof UsageError || error instanceof FindingsError;
      return isUsage ? EXIT_USAGE : EXIT_FAILURE;
    }
  }

  #build(): sade.Sade {
    const program = sade(PROGRAM)
      .version(VERSION)
      .option(
        '--controller',
        'Address of a controller; several are tried in turn',
        DEFAULT_CONTROLLER,
      )
      .option('--json', 'Print JSON', false);
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

  async #runCommand(command: Command, given: unknown[]): Promise<number> {
    const options = given.at(-1) as Record<string, unknown> & { _: unknown[] };
    const named = given.slice(0, -1).filter((one) => one !== undefined);
    const args = [...named, ...options._].map(String);
    command.checkArguments(args);
    const empty = [
      'controller',
      ...command.options.filter((one) => !one.isFlag).map(readName),
    ].find((name) => [options[name]].flat().some((value) => value === '' || value === true));
    if (empty !== undefined) throw new UsageError(`--${empty} needs a value`);
    const addresses = [options.controller].flat().flatMap((value) => String(value).split(','));
    return command.run({
      args,
      options,
      output: new Output({ ...this.#options, isJson: options.json === true }),
      controllers: new ControllerGroup(addresses.filter((address) => address !== '')),
    });
  }
}
