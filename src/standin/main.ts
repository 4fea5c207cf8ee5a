#!/usr/bin/env node
/**
 * Runs a stand-in as a process of its own: `main.js platform|upstream ADDRESS [NAME]`.
 *
 * The name of a platform that is a number is its retention in milliseconds.
 *
 * @module
 */
import { PlatformStandin } from './PlatformStandin.js';
import { UpstreamStandin } from './UpstreamStandin.js';

const [kind = 'platform', address = '127.0.0.1:0', name = 'upstream'] = process.argv.slice(2);
const standin =
  kind === 'platform' ? new PlatformStandin(Number(name) || undefined) : new UpstreamStandin(name);
const opened = await standin.open(address);
process.stderr.write(
  `${JSON.stringify({ level: 'info', message: 'listening', address: opened })}\n`,
);
process.once('SIGTERM', () => {
  standin.close().catch((error: Error) => process.stderr.write(`${error.message}\n`));
});
