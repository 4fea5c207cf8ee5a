import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { Fleet } from './Fleet.mjs';
import { Platform } from './Platform.mjs';

const LIMIT_MS = 115_000;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/** Formats an event as one line of the record. */
function formatEvent({ atMs, kind, ...fields }) {
  const rest = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${value}`)
    .join(' ');
  return `${String(atMs).padStart(6)} ms  ${kind} ${rest}`;
}

/**
 * Runs a case: `play` gets the stand-ins and returns how the rule was broken, one line for each
 * time; an empty list if it held. The process exits with 1, 0, or 2 if the case could not run.
 */
export async function runCase(folder, play) {
  const platform = new Platform();
  const fleet = new Fleet(platform);
  const isTroubled = process.env.TROUBLE !== '0';
  let lines = [];
  let code = EXIT_NOT_RUN;
  let timer;
  try {
    const limit = new Promise((_resolve, reject) => {
      timer = setTimeout(() => reject(new Error('the case took too long')), LIMIT_MS);
    });
    const breaks = await Promise.race([play({ platform, fleet, isTroubled }), limit]);
    code = breaks.length > 0 ? EXIT_BROKEN : 0;
    lines = breaks.length > 0 ? breaks : ['the rule held'];
  } catch (error) {
    lines = [`the case could not run: ${error.message}`];
  } finally {
    clearTimeout(timer);
    const { events } = platform;
    const record = [`trouble: ${isTroubled}`, ...events.map(formatEvent), '', ...lines, ''];
    writeFileSync(path.join(folder, 'record.txt'), record.join('\n'));
    if (process.env.SHOW_LOGS !== undefined) {
      fleet.names.forEach((name) => {
        writeFileSync(path.join(process.env.SHOW_LOGS, `${name}.log`), fleet.readLog(name));
      });
    }
    await fleet.close();
    await platform.close();
    process.stdout.write(`${lines.slice(0, 5).join('\n')}\n`);
    process.exitCode = code;
  }
}
