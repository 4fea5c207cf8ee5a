import winston from 'winston';

/** Options of a logger. */
export interface LoggerOptions {
  /** Least severe level that is written. */
  level?: string;
  /** Session or name of the process, part of each line. */
  process?: string;
  /** Stream that receives the lines; standard error keeps the output of a command apart. */
  stream?: 'stdout' | 'stderr';
}

/**
 * Creates a logger that writes JSON lines, to standard error if nothing else is said.
 *
 * @param role Name of the daemon, part of each line.
 * @example
 * ```ts
 * createLogger('gateway', { level: 'debug' }).info('listening', { address });
 * ```
 */
export function createLogger(role: string, options: LoggerOptions = {}): winston.Logger {
  const { level = 'info', process: session, stream = 'stderr' } = options;
  const stderrLevels = stream === 'stderr' ? Object.keys(winston.config.npm.levels) : [];
  return winston.createLogger({
    level,
    defaultMeta: { role, pid: process.pid, ...(session === undefined ? {} : { process: session }) },
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.errors({ stack: true }),
      winston.format.json(),
    ),
    transports: [new winston.transports.Console({ stderrLevels })],
  });
}
