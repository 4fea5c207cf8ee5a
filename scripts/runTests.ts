/**
 * Runs every test under `dist/src` and `dist/platform` with the `node:test` runner.
 *
 * Files named `*.exclusive.test.ts` measure the resources of processes and run one at a time, after
 * all others.
 *
 * A failing test that is listed in `KNOWN-RED.txt` is printed and ignored. Any other failure, and a
 * listed test that was not run, fails the run. Arguments select the test files whose path contains
 * one of them; the check for listed tests that were not run is then skipped.
 *
 * @module
 */
import { once } from 'node:events';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

const ROOT = path.resolve(import.meta.dirname, '..', '..');
const KNOWN_RED_FILE = path.join(ROOT, 'KNOWN-RED.txt');
/** Number of concurrent test files; low because tests that start processes need free CPU cores. */
const CONCURRENT_FILES = 2;
const FILE_TIMEOUT_MS = 400_000;
const EXCLUSIVE_SUFFIX = '.exclusive.test.js';

/** Reads the names of known failing tests: lines of the form `test: NAME`. */
function readKnownRed(): Set<string> {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  return new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice(6)));
}

/** Folders of the repository that contain tests. */
const SOURCE_FOLDERS = ['src', 'platform'];
const BUILD_FOLDER = path.join(ROOT, 'dist');

function listTestFiles(source: string): string[] {
  const folder = path.join(BUILD_FOLDER, source);
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.test.js'))
    .filter((name) => existsSync(path.join(ROOT, source, name.replace(/\.js$/, '.ts'))))
    .map((name) => path.join(folder, name))
    .sort();
}

const knownRed = readKnownRed();
const seenKnownRed = new Set<string>();
let passed = 0;
let failed = 0;
const filters = process.argv.slice(2);
// Filters match the path within the build folder, so the path of the checkout has no effect.
const files = SOURCE_FOLDERS.flatMap(listTestFiles).filter(
  (file) =>
    filters.length === 0 ||
    filters.some((part) => path.relative(BUILD_FOLDER, file).includes(part)),
);

async function runFiles(selected: string[], concurrency: number): Promise<void> {
  if (selected.length === 0) return;
  const stream = run({ files: selected, concurrency, timeout: FILE_TIMEOUT_MS });
  stream.on('test:pass', (event) => {
    if (event.details.type === 'suite') return;
    passed += 1;
    if (knownRed.has(event.name)) seenKnownRed.add(event.name);
  });
  stream.on('test:fail', (event) => {
    const error = event.details.error as Error & { failureType?: string };
    if (error.failureType === 'subtestsFailed') return;
    if (knownRed.has(event.name)) {
      seenKnownRed.add(event.name);
      console.log(`KNOWN RED: ${event.name}`);
      return;
    }
    failed += 1;
  });
  const ended = once(stream, 'end');
  // eslint-disable-next-line new-cap -- spec is a transform stream class of node:test.
  stream.compose(new spec()).pipe(process.stdout);
  await ended;
}

const isExclusive = (file: string): boolean => file.endsWith(EXCLUSIVE_SUFFIX);
await runFiles(
  files.filter((file) => !isExclusive(file)),
  CONCURRENT_FILES,
);
await runFiles(files.filter(isExclusive), 1);
const missing = filters.length > 0 ? [] : [...knownRed].filter((name) => !seenKnownRed.has(name));
missing.forEach((name) => console.log(`listed in KNOWN-RED.txt but not run: ${name}`));
console.log(`\n${passed} passed, ${failed} failed, ${seenKnownRed.size} known-red`);
process.exitCode = failed > 0 || missing.length > 0 || passed === 0 ? 1 : 0;
