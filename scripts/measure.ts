/**
 * Runs a measurement: `npm run measure -- NAME [ARGUMENT...]` runs `dist/measure/NAME.js`.
 *
 * @module
 */
import { existsSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { pathToFileURL } from 'node:url';

const FOLDER = path.resolve(import.meta.dirname, '..', 'measure');
const EXIT_USAGE = 2;

const name = process.argv[2] ?? '';
const file = path.join(FOLDER, `${name}.js`);
if (/^[\w-]+$/.test(name) && existsSync(file)) {
  await import(pathToFileURL(file).href);
} else {
  const known = existsSync(FOLDER)
    ? readdirSync(FOLDER).filter((one) => /^[a-z][\w-]*\.js$/.test(one))
    : [];
  console.error(
    `no measurement "${name}"; known: ${known.map((one) => one.slice(0, -3)).join(', ')}`,
  );
  process.exitCode = EXIT_USAGE;
}
