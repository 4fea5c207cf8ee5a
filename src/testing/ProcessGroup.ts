import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { waitFor } from './waitFor.js';

const DIST = path.resolve(import.meta.dirname, '..');

/** A started process with its log lines. */
export interface Started {
  child: ChildProcess;
  /** Where it listens. */
  address: string;
  /** Lines of its standard error, parsed where they are JSON. */
  lines: Record<string, unknown>[];
}

/**
 * Starts the daemons and stand-ins of a test as processes of their own and ends them.
 *
 * @example
 * ```ts
 * const group = new ProcessGroup();
 * const platform = await group.startStandin('platform');
 * await group.close();
 * ```
 */
export class ProcessGroup {
  readonly #folder = mkdtempSync(path.join(tmpdir(), 'buckthornreach-'));

  readonly #started: Started[] = [];

  /** Starts a stand-in. */
  startStandin(
    kind: 'platform' | 'upstream',
    name: string = kind,
    address = '127.0.0.1:0',
  ): Promise<Started> {
    return this.#start([path.join(DIST, 'standin', 'main.js'), kind, address, name]);
  }

  /** Starts a daemon with the given settings. */
  startDaemon(settings: object): Promise<Started> {
    const file = this.writeFile(`settings-${this.#started.length}.jsonc`, JSON.stringify(settings));
    return this.#start([path.join(DIST, 'cli', 'main.js'), 'run', file]);
  }

  /** Runs a command of the command line to its end. */
  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- part of the group for its users.
  async runCommand(...args: string[]): Promise<{ code: number; stdout: string; stderr: string }> {
    const child = spawn(process.execPath, [path.join(DIST, 'cli', 'main.js'), ...args]);
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', (chunk) => {
      stdout += chunk;
    });
    child.stderr.on('data', (chunk) => {
      stderr += chunk;
    });
    const code = await new Promise<number>((resolve) => {
      child.once('close', (status) => resolve(status ?? -1));
    });
    return { code, stdout, stderr };
  }

  /** Writes a file into the folder of the group and returns its path. */
  writeFile(name: string, text: string): string {
    const file = path.join(this.#folder, name);
    writeFileSync(file, text);
    return file;
  }

  /** Kills a process and waits for its end. */
  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- part of the group for its users.
  async kill({ child }: Started): Promise<void> {
    if (child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGKILL');
    await ended;
  }

  /** Ends all processes and removes the folder. */
  async close(): Promise<void> {
    await Promise.all(this.#started.map((started) => this.kill(started)));
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #start(args: string[]): Promise<Started> {
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'inherit', 'pipe'] });
    const started: Started = { child, address: '', lines: [] };
    this.#started.push(started);
    let rest = '';
    child.stderr?.on('data', (chunk) => {
      const lines = (rest + chunk).split('\n');
      rest = lines.pop() ?? '';
      lines.forEach((line) => {
        try {
          started.lines.push(JSON.parse(line));
        } catch {
          started.lines.push({ message: line });
        }
      });
    });
    started.address = await waitFor(`"listening" of ${args.join(' ')}`, () => {
      if (child.exitCode !== null) {
        throw new Error(`${args.join(' ')} ended: ${JSON.stringify(started.lines)}`);
      }
      const line = started.lines.find((one) => one.message === 'listening');
      return line?.address as string | undefined;
    });
    return started;
  }
}
