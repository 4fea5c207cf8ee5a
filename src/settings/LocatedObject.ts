import type { Place } from '../finding/mod.js';
import type { DocumentPath, DocumentSource } from './DocumentSource.js';
import type { FleetDocument, FleetList } from './FleetDocument.js';
import type { LoadedDocument } from './LoadedDocument.js';

/** An object of a fleet document with the place where it stands. */
export interface LocatedObject<T> {
  object: T;
  locate: (...path: DocumentPath) => Place;
  /** Whether the document itself has a value; a default of the schema is not there. */
  has: (...path: DocumentPath) => boolean;
}

type ObjectOf<List extends FleetList> = NonNullable<FleetDocument[List]>[number];

function locateObject<T>(object: T, source: DocumentSource, path: DocumentPath): LocatedObject<T> {
  return {
    object,
    locate: (...rest) => source.locate([...path, ...rest]),
    has: (...rest) => source.has([...path, ...rest]),
  };
}

/** Lists the objects of one list of all fleet documents in their order; undefined if none has it. */
export function listLocated<List extends FleetList>(
  documents: readonly LoadedDocument[],
  list: List,
): LocatedObject<ObjectOf<List>>[] | undefined {
  const having = documents.filter(
    (one) => one.kind === 'fleet' && one.value[list] !== undefined,
  ) as Extract<LoadedDocument, { kind: 'fleet' }>[];
  if (having.length === 0) return undefined;
  return having.flatMap(({ source, value }) =>
    ((value[list] ?? []) as ObjectOf<List>[]).map((object, index) =>
      locateObject(object, source, [list, index]),
    ),
  );
}
