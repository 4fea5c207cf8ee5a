import winston from 'winston';

/** Options of a logger. */
export interface LoggerOptions {
  /** Minimum severity of the lines that are written. */
  level?: string;
  /** Session or name of the process, included in each line. */
  process?: string;
  /** Output stream. Standard error keeps log lines separate from the output of a command. */
  stream?: 'stdout' | 'stderr';
}

/**
 * Creates a logger that writes JSON lines, by default to standard error.
 *
 * @param role Name of the daemon, included in each line.
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
