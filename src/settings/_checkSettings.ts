import type { Finding } from '../finding/mod.js';
import { checkUnique, type UniqueValue } from './_checkUnique.js';
import type { DocumentPath, DocumentSource } from './DocumentSource.js';
import type { Settings } from './Settings.js';

interface LoadedSettings {
  source: DocumentSource;
  value: Settings;
}

function listListening({ source, value }: LoadedSettings): UniqueValue[] {
  const locate = (path: DocumentPath, address: string): UniqueValue => ({
    value: address,
    place: source.locate(path),
  });
  const own = [locate(['address'], value.address)];
  if (value.role === 'gateway') own.push(locate(['peerAddress'], value.peerAddress));
  // Port 0 takes a free port, so that two of them are not the same address.
  return own.filter((one) => !one.value.endsWith(':0'));
}

function listReferred({ source, value }: LoadedSettings): UniqueValue[] {
  const list = value.role === 'gateway' ? 'controllers' : 'peers';
  const addresses = value.role === 'gateway' ? value.controllers : value.peers;
  return addresses.map((address, index) => ({
    value: address,
    place: source.locate([list, index]),
  }));
}

/** Reports addresses that two daemons would listen on, and addresses named twice in a list. */
export function checkSettings(documents: readonly LoadedSettings[]): Finding[] {
  return [
    ...checkUnique('the address', documents.flatMap(listListening)),
    ...documents.flatMap((one) => checkUnique('the address', listReferred(one))),
  ];
}
