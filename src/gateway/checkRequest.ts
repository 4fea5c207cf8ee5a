import type { IncomingMessage } from 'node:http';
import { z } from 'zod';
import { Urgency, type Problem } from '../job/mod.js';

/** Maximum size of a request body, in bytes. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;
const MAX_TIMEOUT_MS = 3_600_000;
const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const MAX_TEAM_LENGTH = 128;

/** Headers with which a caller describes its job. */
const JobHeaders = z.object({
  'buckthornreach-urgency': Urgency.default('normal'),
  'buckthornreach-team': z.string().min(1).max(MAX_TEAM_LENGTH).default('default'),
  'buckthornreach-idempotent': z.enum(['true', 'false']).optional(),
  'buckthornreach-timeout-ms': z
    .string()
    .regex(/^[1-9]\d{0,6}$/, `expected whole milliseconds from 1 to ${MAX_TIMEOUT_MS}`)
    .transform(Number)
    .pipe(z.number().max(MAX_TIMEOUT_MS))
    .optional(),
  'idempotency-key': z.string().regex(UUID_V7, 'expected a UUIDv7').optional(),
});

/** Parsed job headers of a valid request. */
export type JobHeaders = z.infer<typeof JobHeaders>;

/** The parsed job headers, or a problem that names the invalid field. */
export type RequestCheck = { headers: JobHeaders } | { problem: Problem };

function reject(status: number, field: string, detail: string): RequestCheck {
  const title = status === 413 ? 'The body is too large' : 'The request is not valid';
  return {
    problem: { type: 'about:blank', title, status, field, detail, outcome: 'not-run' },
  };
}

function countHeader(request: IncomingMessage, name: string): number {
  let count = 0;
  for (let index = 0; index < request.rawHeaders.length; index += 2) {
    if (request.rawHeaders[index]?.toLowerCase() === name) count += 1;
  }
  return count;
}

/**
 * Checks the request line and the headers of a request before its body is read.
 *
 * Ambiguous requests are rejected to prevent request smuggling: if two parsers disagree about the
 * end of a request, an upstream host could read the remainder as a separate request.
 */
export function checkRequest(request: IncomingMessage): RequestCheck {
  const { headers, url = '/' } = request;
  if (countHeader(request, 'host') > 1) return reject(400, 'Host', 'the header is repeated');
  if (headers['content-length'] !== undefined && headers['transfer-encoding'] !== undefined) {
    return reject(400, 'Transfer-Encoding', 'not allowed together with Content-Length');
  }
  if (!url.startsWith('/')) return reject(400, 'path', `expected a path, got "${url}"`);
  if (Number(headers['content-length'] ?? 0) > MAX_BODY_BYTES) {
    return reject(413, 'Content-Length', `the limit is ${MAX_BODY_BYTES} bytes`);
  }
  const parsed = JobHeaders.safeParse(headers);
  if (parsed.success) return { headers: parsed.data };
  const [issue] = parsed.error.issues;
  const field = String(issue?.path[0] ?? 'header');
  return reject(400, field, `${issue?.message}, got "${String(headers[field])}"`);
}
