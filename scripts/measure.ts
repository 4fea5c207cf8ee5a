/**
 * Runs the measurement `measure/NAME.ts`: `npm run measure -- NAME [arguments]`.
 *
 * @module
 */
import { existsSync, readdirSync } from 'node:fs';
import path from 'node:path';

const FOLDER = path.resolve(import.meta.dirname, '..', 'measure');
const EXIT_USAGE = 2;

const [name = ''] = process.argv.slice(2);
const file = path.join(FOLDER, `${name}.js`);
if (name === '' || !existsSync(file)) {
  const names = readdirSync(FOLDER)
    .filter((one) => one.endsWith('.js'))
    .map((one) => path.basename(one, '.js'));
  console.error(`no measurement "${name}"; there are: ${names.join(', ')}`);
  process.exitCode = EXIT_USAGE;
} else await import(file);
