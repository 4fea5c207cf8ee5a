import winston from 'winston';

/**
 * Creates a logger that writes JSON lines to standard error.
 *
 * @param role Name of the daemon, part of each line.
 * @param level Least severe level that is written.
 * @example
 * ```ts
 * createLogger('gateway').info('listening', { address });
 * ```
 */
export function createLogger(role: string, level = 'info'): winston.Logger {
  return winston.createLogger({
    level,
    defaultMeta: { role, pid: process.pid },
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.errors({ stack: true }),
      winston.format.json(),
    ),
    transports: [
      new winston.transports.Console({ stderrLevels: Object.keys(winston.config.npm.levels) }),
    ],
  });
}
