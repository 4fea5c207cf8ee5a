import { LogClient, type ReadResult } from '../log/mod.js';
import { RecordEnvelope, type RecordBody } from '../record/mod.js';

/** A log client that accepts every append and records the bodies. */
export class RecordingLogClient extends LogClient {
  readonly bodies: RecordBody[] = [];

  override async append(_stream: string, values: string[]): Promise<number> {
    values.forEach((value) => this.bodies.push(RecordEnvelope.parse(JSON.parse(value)).body));
    return 0;
  }

  override async read(): Promise<ReadResult> {
    return { entries: [], head: 0 };
  }

  override async close(): Promise<void> {
    this.bodies.length = 0;
  }
}
