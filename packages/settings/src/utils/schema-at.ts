import type { SchemaNode } from '../types/schema-node.ts';

/** Returns the schema of the setting at `path`; undefined if there is no such setting. */
export function schemaAt(root: SchemaNode, path: readonly PropertyKey[]): SchemaNode | undefined {
  let node: SchemaNode | undefined = root;
  for (const part of path) {
    node = typeof part === 'number' ? node?.items : node?.properties?.[String(part)];
  }
  return node;
}
