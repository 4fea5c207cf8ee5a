/**
 * Runs every test under `dist/src` and `dist/platform` with `node --test` and honours `KNOWN-RED.txt`.
 *
 * A failing test that is listed there is printed and passed over; any other failure, and a listed
 * test that no longer exists, fails the run.
 *
 * @module
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

const ROOT = path.resolve(import.meta.dirname, '..', '..');
const KNOWN_RED_FILE = path.join(ROOT, 'KNOWN-RED.txt');
/** Test files run side by side; process tests need cores of their own. */
const CONCURRENT_FILES = 2;
const FILE_TIMEOUT_MS = 400_000;

/** Reads the names of known failing tests: lines of the form `test: NAME`. */
function readKnownRed(): Set<string> {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  return new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice(6)));
}

/** Folders of the repository whose tests are run. */
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
const seenRed = new Set<string>();
let passed = 0;
let failed = 0;
const only = process.argv.slice(2);
// The name of the checkout is no part of the name of a test.
const files = SOURCE_FOLDERS.flatMap(listTestFiles).filter(
  (file) =>
    only.length === 0 || only.some((part) => path.relative(BUILD_FOLDER, file).includes(part)),
);

const stream = run({ files, concurrency: CONCURRENT_FILES, timeout: FILE_TIMEOUT_MS });
stream.on('test:pass', (event) => {
  if (event.details.type === 'suite') return;
  passed += 1;
  if (knownRed.has(event.name)) seenRed.add(event.name);
});
stream.on('test:fail', (event) => {
  const error = event.details.error as Error & { failureType?: string };
  if (error.failureType === 'subtestsFailed') return;
  if (knownRed.has(event.name)) {
    seenRed.add(event.name);
    console.log(`KNOWN RED: ${event.name}`);
    return;
  }
  failed += 1;
});
stream.on('end', () => {
  const missing = only.length > 0 ? [] : [...knownRed].filter((name) => !seenRed.has(name));
  missing.forEach((name) => console.log(`listed in KNOWN-RED.txt but not run: ${name}`));
  console.log(`\n${passed} passed, ${failed} failed, ${seenRed.size} known-red`);
  process.exitCode = failed > 0 || missing.length > 0 || passed === 0 ? 1 : 0;
});
// eslint-disable-next-line new-cap -- spec is a transform stream class of node:test.
stream.compose(new spec()).pipe(process.stdout);
