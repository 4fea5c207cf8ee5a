import type { LogEntry, Operation, RecordBody } from '../record/mod.js';

/** Builds the operations that create data centres and hosts, with four hosts to a rack. */
export function buildInventory(hosts: number, dataCentres = 3): Operation[] {
  const dataCentreNames = Array.from({ length: dataCentres }, (_, index) => `d${index + 1}`);
  return [
    ...dataCentreNames.map((name): Operation => ({
      action: 'put',
      kind: 'dataCentre',
      object: { name, region: 'brittany' },
    })),
    ...Array.from({ length: hosts }, (_, index): Operation => ({
      action: 'put',
      kind: 'host',
      object: {
        name: `h${index + 1}`,
        dataCentre: dataCentreNames[index % dataCentres] ?? 'd1',
        rack: `r${Math.floor(index / (4 * dataCentres)) + 1}`,
        address: `10.${Math.floor(index / 62_500)}.${Math.floor(index / 250) % 250}.${(index % 250) + 1}:8080`,
        resources: { cores: 64, memoryGb: 128, accelerators: 2 },
      },
    })),
  ];
}

/** Builds log entries from the bodies of one writer; a string is used as the raw entry value. */
export function buildEntries(bodies: (RecordBody | string)[], writer = 'w1'): LogEntry[] {
  return bodies.map((body, offset) => ({
    offset,
    time: 1_000 + offset,
    value: typeof body === 'string' ? body : JSON.stringify({ writer, sequence: offset + 1, body }),
  }));
}
