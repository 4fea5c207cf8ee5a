#!/usr/bin/env node
/**
 * Runs a stand-in as a separate process: `main.js platform|upstream ADDRESS [NAME]`.
 *
 * For a platform, a numeric `NAME` is the retention of its logs in ms.
 *
 * @module
 */
import { PlatformStandin } from './PlatformStandin.js';
import { UpstreamStandin } from './UpstreamStandin.js';

const [kind = 'platform', address = '127.0.0.1:0', name = 'upstream'] = process.argv.slice(2);
const standin =
  kind === 'platform' ? new PlatformStandin(Number(name) || undefined) : new UpstreamStandin(name);
const listenAddress = await standin.open(address);
process.stderr.write(
  `${JSON.stringify({ level: 'info', message: 'listening', address: listenAddress })}\n`,
);
process.once('SIGTERM', () => {
  standin.close().catch((error: Error) => process.stderr.write(`${error.message}\n`));
});
