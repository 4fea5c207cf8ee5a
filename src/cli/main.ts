#!/usr/bin/env node
/**
 * The command line of buckthornreach.
 *
 * @module
 */
import { readFileSync } from 'node:fs';
import sade from 'sade';
import { Controller, createControllerClient } from '../controller/mod.js';
import { FindingsError } from '../finding/mod.js';
import { Gateway } from '../gateway/mod.js';
import { createLogger } from '../logging/mod.js';
import { FleetDocument, parseDocument, Settings } from '../settings/mod.js';
import { compareDocument } from './compareDocument.js';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

function print(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
}

async function runDaemon(file: string): Promise<void> {
  const settings = parseDocument(readFileSync(file, 'utf8'), Settings, file);
  const logger = createLogger(settings.role);
  const onFault = (actor: string, error: Error): void => {
    logger.error('message handler failed', { actor, error: error.stack });
  };
  const daemon =
    settings.role === 'gateway'
      ? new Gateway(settings, onFault)
      : new Controller(settings, onFault);
  const address = await daemon.open();
  logger.info('listening', { address });
  ['SIGTERM', 'SIGINT'].forEach((signal) => {
    process.once(signal, () => {
      daemon.close().then(() => logger.info('stopped'));
    });
  });
}

async function applyFile(file: string, options: { controller: string }): Promise<void> {
  const document = parseDocument(readFileSync(file, 'utf8'), FleetDocument, file);
  const client = createControllerClient(options.controller);
  const current = await client.snapshot.query();
  const operations = compareDocument(document, current);
  if (operations.length === 0) {
    print({ changed: 0, revision: current.revision });
    return;
  }
  const answer = await client.change.mutate({
    baseRevision: current.revision,
    operations,
    operator: process.env.USER ?? 'operator',
  });
  print({ changed: operations.length, ...answer });
  if (answer.verdict.outcome !== 'accepted') process.exitCode = EXIT_FAILURE;
}

async function showFleet(options: { controller: string }): Promise<void> {
  print(await createControllerClient(options.controller).fleet.query());
}

function handle<Args extends unknown[]>(run: (...args: Args) => Promise<void>) {
  return (...args: Args): void => {
    run(...args).catch((error: Error) => {
      process.stderr.write(`${error.message}\n`);
      process.exitCode = error instanceof FindingsError ? EXIT_USAGE : EXIT_FAILURE;
    });
  };
}

sade('buckthornreach')
  .version('0.1.0')
  .option('--controller', 'Address of a controller', '127.0.0.1:7100')
  .command('run <settings>', 'Run the daemon of a settings file')
  .example('run gateway.jsonc')
  .action(handle(runDaemon))
  .command('apply <file>', 'Load an inventory and rules')
  .example('apply fleet.jsonc --controller 127.0.0.1:7100')
  .action(handle(applyFile))
  .command('fleet', 'Show the pools of the fleet')
  .action(handle(showFleet))
  .parse(process.argv);
