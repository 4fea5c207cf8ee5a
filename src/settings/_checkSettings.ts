import type { Finding } from '../finding/mod.js';
import { checkUnique, type UniqueValue } from './_checkUnique.js';
import type { DocumentPath, DocumentSource } from './DocumentSource.js';
import type { Settings } from './Settings.js';

interface LoadedSettings {
  source: DocumentSource;
  value: Settings;
}

function listListenAddresses({ source, value }: LoadedSettings): UniqueValue[] {
  const locate = (path: DocumentPath, address: string): UniqueValue => ({
    value: address,
    place: source.locate(path),
  });
  const addresses = [locate(['address'], value.address)];
  if (value.role === 'gateway') addresses.push(locate(['peerAddress'], value.peerAddress));
  // Port 0 selects a free port, so two such addresses do not conflict.
  return addresses.filter((one) => !one.value.endsWith(':0'));
}

function listControllerAddresses({ source, value }: LoadedSettings): UniqueValue[] {
  const list = value.role === 'gateway' ? 'controllers' : 'peers';
  const addresses = value.role === 'gateway' ? value.controllers : value.peers;
  return addresses.map((address, index) => ({
    value: address,
    place: source.locate([list, index]),
  }));
}

/** Reports addresses that two daemons would listen on, and duplicate controller addresses. */
export function checkSettings(documents: readonly LoadedSettings[]): Finding[] {
  return [
    ...checkUnique('the address', documents.flatMap(listListenAddresses)),
    ...documents.flatMap((one) => checkUnique('the address', listControllerAddresses(one))),
  ];
}
