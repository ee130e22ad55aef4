import type { SchemaNode } from '../types/schema-node.ts';

/** Schema of the setting at `path`; undefined when no setting has this place. */
export function schemaAt(root: SchemaNode, path: readonly PropertyKey[]): SchemaNode | undefined {
  let node: SchemaNode | undefined = root;
  for (const part of path) {
    node = typeof part === 'number' ? node?.items : node?.properties?.[String(part)];
  }
  return node;
}
