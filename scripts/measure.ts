/**
 * Runs a measurement: `npm run measure -- NAME` runs `dist/measure/NAME.js` with the other arguments.
 *
 * @module
 */
import { existsSync } from 'node:fs';
import path from 'node:path';
import { pathToFileURL } from 'node:url';

const [name = ''] = process.argv.slice(2);
const file = path.resolve(import.meta.dirname, '..', 'measure', `${name}.js`);
if (!/^[a-z]\w*$/i.test(name) || !existsSync(file)) {
  console.error(`no measurement "${name}" in measure/`);
  process.exitCode = 2;
} else {
  process.argv.splice(2, 1);
  await import(pathToFileURL(file).href);
}
