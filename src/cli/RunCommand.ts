import { randomUUID } from 'node:crypto';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { SystemClock } from '../clock/mod.js';
import { Controller } from '../controller/mod.js';
import { Gateway } from '../gateway/mod.js';
import { createLogger } from '../logging/mod.js';
import { ProcessObserver } from '../observation/mod.js';
import { parseDocument, Settings } from '../settings/mod.js';
import { Command, EXIT_OK, type CommandContext } from './Command.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Runs the daemon described by a settings file until a signal stops it. */
export class RunCommand extends Command {
  override readonly usage = 'run <settings>';

  override readonly summary = 'Run the daemon described by a settings file until SIGTERM or SIGINT';

  override readonly examples = ['run gateway.jsonc'];

  override readonly maxArguments = 1;

  override async run({ args }: CommandContext): Promise<number> {
    const file = args[0] as string;
    const settings = parseDocument(readFileSync(file, 'utf8'), Settings, file);
    const name = `${settings.role}-${randomUUID()}`;
    const logger = createLogger(settings.role, { level: settings.logLevel, process: name });
    const observer = new ProcessObserver(name, {
      clock: new SystemClock(),
      timelineEvents: settings.timelineEvents,
      onEvent: logger.isDebugEnabled()
        ? ({ type, process, ...event }) => logger.debug(type, event)
        : undefined,
    });
    const onFault = (actor: string, error: Error): void => {
      logger.error('message handler failed', { actor, error: error.stack });
    };
    const daemon =
      settings.role === 'gateway'
        ? new Gateway(settings, onFault, observer)
        : new Controller(settings, onFault, observer);
    const abortController = new AbortController();
    try {
      const address = await daemon.open();
      const peerAddress = daemon instanceof Gateway ? daemon.peerAddress : address;
      logger.info('listening', { address, peerAddress });
      observer.timeline.record({ type: 'process.started', detail: `${settings.role} ${address}` });
      const signals = STOP_SIGNALS.map((signal) =>
        once(process, signal, { signal: abortController.signal }),
      );
      await Promise.race(signals);
      logger.info('stopping');
    } finally {
      abortController.abort();
      await daemon.close();
      observer.close();
    }
    logger.info('stopped');
    return EXIT_OK;
  }
}
