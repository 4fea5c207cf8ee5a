import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { waitFor } from './waitFor.js';

const DIST = path.resolve(import.meta.dirname, '..');

/** A running process with its log lines. */
export interface StartedProcess {
  child: ChildProcess;
  /** Listen address. */
  address: string;
  /** Lines of its standard error, parsed where they are JSON. */
  lines: Record<string, unknown>[];
}

/**
 * Runs the daemons and stand-ins of a test as child processes.
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

  readonly #processes: StartedProcess[] = [];

  /** Starts a stand-in for the platform or an upstream. */
  startStandin(
    kind: 'platform' | 'upstream',
    name: string = kind,
    address = '127.0.0.1:0',
  ): Promise<StartedProcess> {
    return this.#start([path.join(DIST, 'standin', 'main.js'), kind, address, name]);
  }

  /** Starts a daemon with the given settings. */
  startDaemon(settings: object): Promise<StartedProcess> {
    const file = this.writeFile(
      `settings-${this.#processes.length}.jsonc`,
      JSON.stringify(settings),
    );
    return this.#start([path.join(DIST, 'cli', 'main.js'), 'run', file]);
  }

  /** Runs a command of the CLI to completion. */
  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- part of the group interface.
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

  /** Writes a file to the temporary folder of the group and returns its path. */
  writeFile(name: string, text: string): string {
    const file = path.join(this.#folder, name);
    writeFileSync(file, text);
    return file;
  }

  /** Kills a process and waits until it exits. */
  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- part of the group interface.
  async kill({ child }: StartedProcess): Promise<void> {
    if (child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGKILL');
    await ended;
  }

  /** Kills all processes and removes the temporary folder. */
  async close(): Promise<void> {
    await Promise.all(this.#processes.map((started) => this.kill(started)));
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #start(args: string[]): Promise<StartedProcess> {
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'inherit', 'pipe'] });
    const started: StartedProcess = { child, address: '', lines: [] };
    this.#processes.push(started);
    let partialLine = '';
    child.stderr?.on('data', (chunk) => {
      const lines = (partialLine + chunk).split('\n');
      partialLine = lines.pop() ?? '';
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
        throw new Error(`${args.join(' ')} exited: ${JSON.stringify(started.lines)}`);
      }
      const line = started.lines.find((one) => one.message === 'listening');
      return line?.address as string | undefined;
    });
    return started;
  }
}
