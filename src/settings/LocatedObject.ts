import type { Place } from '../finding/mod.js';
import type { DocumentPath, DocumentSource } from './DocumentSource.js';
import type { FleetDocument, FleetList } from './FleetDocument.js';
import type { LoadedDocument } from './LoadedDocument.js';

/** An object of a fleet document with its location in the source. */
export interface LocatedObject<T> {
  object: T;
  locate: (...path: DocumentPath) => Place;
  /** Whether the document sets a value itself, rather than taking the default of the schema. */
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

/**
 * Lists the objects of one list across all fleet documents, in document order. Returns `undefined`
 * if no document contains the list.
 */
export function listLocatedObjects<List extends FleetList>(
  documents: readonly LoadedDocument[],
  list: List,
): LocatedObject<ObjectOf<List>>[] | undefined {
  const containing = documents.filter(
    (one) => one.kind === 'fleet' && one.value[list] !== undefined,
  ) as Extract<LoadedDocument, { kind: 'fleet' }>[];
  if (containing.length === 0) return undefined;
  return containing.flatMap(({ source, value }) =>
    ((value[list] ?? []) as ObjectOf<List>[]).map((object, index) =>
      locateObject(object, source, [list, index]),
    ),
  );
}
