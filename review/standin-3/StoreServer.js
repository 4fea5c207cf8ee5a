import { createServer } from 'node:http';
import { Log } from './Log.js';

/** Limits of the stand-in, as in the example of the settings page. */
export const RECORD_BYTES = 262_144;
export const REQUEST_BYTES = 2_097_152;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const KEPT_APPENDS = 5;

/** Reads the whole body of a request. */
export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Sends a response with a JSON body. */
export function sendJson(response, status, body = {}) {
  if (response.destroyed) return;
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Waits for a time in ms. The wait alone does not keep the process alive, but open servers do. */
export function waitMs(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}

/** Opens a server at an address of the loopback range; port 0 selects a free port. */
export function openServer(server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(`${host}:${server.address().port}`));
  });
}

/** Splits the body of an append into records; undefined if it is not valid. */
function decodeRecords(body) {
  const records = [];
  let position = 0;
  while (position < body.length) {
    if (position + 4 > body.length) return undefined;
    const length = body.readUInt32BE(position);
    const content = body.subarray(position + 4, position + 4 + length);
    if (length > RECORD_BYTES || content.length !== length) return undefined;
    const keyLength = length > 0 ? content.readUInt8(0) : 0;
    records.push({
      key: content.subarray(1, 1 + keyLength).toString('utf8'),
      value: content.subarray(1 + keyLength),
      raw: body.subarray(position, position + 4 + length),
    });
    position += 4 + length;
  }
  return records;
}

/** Encodes a keyed record as it lies in the log. */
function encodeRecord(key, text) {
  const keyBytes = Buffer.from(key);
  const value = Buffer.from(text);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + keyBytes.length + value.length);
  head.writeUInt8(keyBytes.length, 4);
  return { key, value, raw: Buffer.concat([head, keyBytes, value]) };
}

/** The platform's store: keyed logs in memory, over the wire protocol of the users' pages. */
export class StoreServer {
  #logs = new Map();

  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });

  /** Delay in ms of the answer to an append; it is executed when it arrives. */
  answerDelayMs = 4;

  constructor() {
    /** Called for each append with its query, its size and the status of its answer. */
    this.onAppend = () => undefined;
  }

  setAppendListener(listener) {
    this.onAppend = listener;
  }

  async open(host) {
    this.address = await openServer(this.#server, host);
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a record as the operator or a worker; an empty text removes the key. */
  write(topic, key, text) {
    this.#getLog(topic).append([encodeRecord(key, text)]);
  }

  /** Finds the newest value of a key. */
  find(topic, key) {
    return this.#getLog(topic).newest.get(key)?.value.toString('utf8');
  }

  /** Lists the newest records of a topic. */
  list(topic) {
    return [...this.#getLog(topic).newest.values()];
  }

  #getLog(name) {
    const log = this.#logs.get(name) ?? new Log();
    this.#logs.set(name, log);
    return log;
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const log = this.#getLog(url.searchParams.get('topic') ?? '');
    const body = await readBody(request);
    if (url.pathname.endsWith('/log-append')) {
      const { status, answer, keys } = StoreServer.#append(log, url.searchParams, body);
      this.onAppend({ query: url.searchParams, bytes: body.length, status, keys });
      await waitMs(this.answerDelayMs);
      sendJson(response, status, answer);
    } else if (url.pathname.endsWith('/log-read')) {
      await StoreServer.#read(log, url.searchParams, response);
    } else if (url.pathname.endsWith('/log-newest')) {
      StoreServer.#readNewest(log, url.searchParams, response);
    } else sendJson(response, 404);
  }

  static #append(log, query, body) {
    if (/^keyed\.(op|servers)$/.test(query.get('topic'))) return { status: 403, answer: {} };
    const records = body.length > REQUEST_BYTES ? undefined : decodeRecords(body);
    if (records === undefined) return { status: 400, answer: {} };
    const keys = records.map(({ key }) => key);
    const producer = query.get('producer');
    if (producer === null) {
      const offset = log.append(records);
      return { status: 200, answer: { offset, end: log.end }, keys };
    }
    const epoch = Number(query.get('epoch'));
    const seqNo = Number(query.get('seqNo'));
    const writer = log.writers.get(producer) ?? { epoch: -1, recent: [] };
    if (epoch < writer.epoch) return { status: 409, answer: { reason: 'fenced' }, keys };
    if (epoch > writer.epoch) Object.assign(writer, { epoch, recent: [] });
    log.writers.set(producer, writer);
    const repeated = writer.recent.find((one) => one.seqNo === seqNo);
    if (repeated !== undefined) return { status: 200, answer: repeated.answer, keys };
    const last = writer.recent.at(-1);
    if (last !== undefined && seqNo !== last.seqNo + 1) {
      return { status: 409, answer: { reason: 'seq', seqNo: last.seqNo + 1 }, keys };
    }
    const offset = log.append(records);
    const answer = { offset, end: log.end };
    writer.recent = [...writer.recent, { seqNo, answer }].slice(-KEPT_APPENDS);
    return { status: 200, answer, keys };
  }

  static async #read(log, query, response) {
    const from = Number(query.get('from'));
    const limitMs = Math.min(30_000, Number(query.get('waitMs') ?? 0));
    if (from >= log.end && limitMs > 0) {
      await new Promise((resolve) => {
        const finish = () => {
          log.waiting.delete(finish);
          resolve();
        };
        log.waiting.add(finish);
        setTimeout(finish, limitMs);
        response.once('close', finish);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(log.end));
    const parts = [head];
    let left = 1_024 * Number(query.get('maxKb') ?? 1_024);
    for (const { raw } of log.records.slice(from)) {
      if (parts.length > 1 && raw.length > left) break;
      left -= raw.length;
      parts.push(raw);
    }
    if (response.destroyed) return;
    response.writeHead(200);
    response.end(Buffer.concat(parts));
  }

  static #readNewest(log, query, response) {
    const after = query.get('after');
    const sorted = [...log.newest.values()].sort((one, other) => (one.key < other.key ? -1 : 1));
    const rest = sorted.filter(({ key }) => after === null || key > after);
    const items = [];
    let bytes = 0;
    for (const { key, value, offset } of rest) {
      if (items.length >= PAGE_ITEMS || (items.length > 0 && bytes + value.length > PAGE_BYTES))
        break;
      bytes += value.length;
      items.push({ key, value: value.toString('base64'), offset });
    }
    sendJson(response, 200, { items, more: items.length < rest.length, end: log.end });
  }
}
