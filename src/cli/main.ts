#!/usr/bin/env node
/**
 * The command line of buckthornreach.
 *
 * @module
 */
import { ApplyCommand } from './ApplyCommand.js';
import { CheckCommand } from './CheckCommand.js';
import { CommandLine } from './CommandLine.js';
import { ContractsCommand } from './ContractsCommand.js';
import { DemoCommand } from './DemoCommand.js';
import { ExplainCommand } from './ExplainCommand.js';
import { FleetCommand } from './FleetCommand.js';
import { HostCommand } from './HostCommand.js';
import { MetricsCommand } from './MetricsCommand.js';
import { RolloutCommand } from './RolloutCommand.js';
import { RunCommand } from './RunCommand.js';
import { TimelineCommand } from './TimelineCommand.js';
import { WavesCommand } from './WavesCommand.js';

const commands = [
  new RunCommand(),
  new CheckCommand(),
  new ApplyCommand(),
  new FleetCommand(),
  new HostCommand(),
  new ExplainCommand(),
  new ContractsCommand(),
  new WavesCommand(),
  new RolloutCommand(),
  new TimelineCommand(),
  new MetricsCommand(),
  new DemoCommand(),
];
const commandLine = new CommandLine(commands, {
  write: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
});
process.exitCode = await commandLine.run(process.argv.slice(2));
