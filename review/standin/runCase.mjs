import { Site } from './Site.mjs';

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
/** Time limit of a script in ms. */
const LIMIT_MS = 115_000;

/**
 * Runs a case: opens a site, plays the case on it and ends everything that was started.
 *
 * `play` gets the site and whether there is trouble. It returns `isBroken`, a `verdict` in words and
 * whether the case could run (`hasRun`).
 */
export async function runCase({ folder, layout }, play) {
  const site = new Site({ folder });
  let limit;
  let result;
  try {
    await site.open(layout);
    const isOver = new Promise((_resolve, reject) => {
      limit = setTimeout(() => reject(new Error('the time is up')), LIMIT_MS);
    });
    result = await Promise.race([play(site, process.env.TROUBLE !== '0'), isOver]);
  } catch (error) {
    site.record(String(error.stack));
    result = { isBroken: false, hasRun: false, verdict: `could not run: ${error.message}` };
  }
  clearTimeout(limit);
  await site.close(result.verdict);
  const held = result.isBroken ? EXIT_BROKEN : EXIT_HELD;
  // eslint-disable-next-line n/no-process-exit -- a socket of a cut worker may still be open
  process.exit(result.hasRun ? held : EXIT_NOT_RUN);
}
