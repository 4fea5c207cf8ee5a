import assert from 'node:assert/strict';
import { readdirSync } from 'node:fs';
import path from 'node:path';
import { describe, it } from 'node:test';
import { formatFinding } from '../finding/mod.js';
import { checkDocuments } from './checkDocuments.js';
import { DocumentSource } from './DocumentSource.js';
import { loadDocument, loadDocuments } from './loadDocuments.js';

function check(...texts: string[]): string[] {
  const results = texts.map((text, index) =>
    loadDocument(new DocumentSource(text, `f${index + 1}`)),
  );
  const findings = results.flatMap((one) => one.findings);
  const documents = results.flatMap((one) => one.documents);
  return [...findings, ...checkDocuments(documents)].map(formatFinding);
}

function formatHost(name: string, address: string): string {
  return `{"name":"${name}","dataCentre":"d","rack":"r","address":"${address}"}`;
}

/** Guards against accepting contradictory documents, and against findings without a place. */
describe('checkDocuments', () => {
  it('reports a name that occurs in two files, with both places', () => {
    const pools = '{\n "pools": [{ "name": "match", "need": 1 }]\n}';
    assert.deepEqual(check(pools, pools), [
      'f2:2:22: error: pools.0.name: pool "match" is also at f1:2:22',
    ]);
  });

  it('reports an address shared by two hosts, and an unknown data centre', () => {
    const hosts = `[${formatHost('h1', '10.0.0.1:80')},\n${formatHost('h2', '10.0.0.1:80')}]`;
    assert.deepEqual(check(`{"dataCentres":[{"name":"e","region":"r"}],"hosts":${hosts}}`), [
      'f1:1:79: error: hosts.0.dataCentre: unknown data centre "d"',
      'f1:2:27: error: hosts.1.dataCentre: unknown data centre "d"',
      'f1:2:52: error: hosts.1.address: the address "10.0.0.1:80" is also at f1:1:104',
    ]);
  });

  it('reports an unknown pool only when a file lists the pools', () => {
    const services = '{"services":[{"name":"s","pathPrefix":"/s","pool":"p"}]}';
    assert.deepEqual(check(services), []);
    assert.match(check(services, '{"pools":[]}').join(), /services\.0\.pool: unknown pool "p"/);
  });

  it('reports a budget above the size and a window that ends before its start', () => {
    const pool = '{"name":"p","need":1,"headroom":1,"availabilityBudget":3,\n';
    const found = check(`{"pools":[${pool}"maintenance":{"windows":[{"from":5,"to":5}]}}]}`);
    assert.deepEqual(found, [
      'f1:1:66: error: pools.0.availabilityBudget: 3 is above need + headroom = 2',
      'f1:2:42: error: pools.0.maintenance.windows.0.to: the window ends at 5, not after its start at 5',
    ]);
  });

  it('rejects equal prefixes and warns about overlaps on a segment boundary', () => {
    const service = (name: string, prefix: string): string =>
      `{"name":"${name}","pathPrefix":"${prefix}","pool":"p"}`;
    const list = [
      service('a', '/x'),
      service('b', '/x/'),
      service('c', '/x/y'),
      service('d', '/xy'),
    ];
    const found = check(`{"services":[${list.join()}]}`);
    assert.equal(found.length, 3);
    assert.match(found[0] ?? '', /error: services\.1\.pathPrefix: "\/x\/" equals "\/x"/);
    assert.match(found[1] ?? '', /warning: services\.2\.pathPrefix: "\/x\/y" overlaps with "\/x"/);
    assert.match(found[2] ?? '', /warning: services\.2.*overlaps with "\/x\/"/);
  });

  it('warns when the pools want more hosts than the inventory has', () => {
    const found = check('{"hosts":[],"pools":[{"name":"p","need":2}]}');
    assert.deepEqual(found, [
      'f1:1:22: warning: pools.0: the pools want 2 hosts, the inventory has 0',
    ]);
  });

  it('reports every unknown and duplicate key at the key, also in nested rules', () => {
    const pool = '{"name":"p","need":1,"maintenance":{"windws":[]},"hedroom":1}';
    assert.deepEqual(
      check(`{"pools":[${pool}]}`).map((one) => one.split(': ').slice(0, 3)),
      [
        ['f1:1:47', 'error', 'pools.0.maintenance.windws'],
        ['f1:1:60', 'error', 'pools.0.hedroom'],
      ],
    );
    assert.deepEqual(check('{"pools":[],\n"pools":[]}'), [
      'f1:2:1: error: pools: duplicate key "pools"',
    ]);
  });

  it('reports two daemons at one address, ports out of range and invalid settings', () => {
    const gateway = (address: string, level = 'info'): string =>
      `{"role":"gateway","dataCentre":"d","address":"${address}","peerAddress":"10.0.0.1:81",` +
      `"controllers":["10.0.0.1:82"],"logLevel":"${level}"}`;
    assert.match(
      check(gateway('10.0.0.1:81')).join(),
      /peerAddress: the address .* is also at f1:1/,
    );
    assert.match(check(gateway('10.0.0.1:70000')).join(), /address: the port is above 65535/);
    assert.match(check(gateway('10.0.0.1:80', 'loud')).join(), /logLevel: /);
    assert.match(check('{"role":"broker"}').join(), /1:9: error: role: /);
  });

  it('reports an invalid file and a missing file by name', () => {
    assert.match(check('{"pools": [').join(), /^f1:1:12: error: /);
    const { findings } = loadDocuments(['/nonexistent/fleet.jsonc']);
    assert.match(findings.map(formatFinding).join(), /fleet\.jsonc: error: ENOENT/);
  });
});

/** Guards against example files that a schema change has made invalid. */
describe('the example files', () => {
  const root = path.resolve(import.meta.dirname, '..', '..', '..', 'examples');
  readdirSync(root).forEach((fleet) => {
    it(`accepts every file of ${fleet}, alone and together`, () => {
      const names = readdirSync(path.join(root, fleet), { recursive: true, encoding: 'utf8' });
      const files = names.filter((name) => name.endsWith('.jsonc'));
      assert.ok(files.length >= 14);
      const paths = files.map((name) => path.join(root, fleet, name));
      assert.deepEqual(loadDocuments(paths).findings, []);
      paths.forEach((file) => assert.deepEqual(loadDocuments([file]).findings, []));
    });
  });
});
