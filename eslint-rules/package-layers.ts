import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import type { Rule } from 'eslint';

const SCOPE = '@ragwortrudder/';

interface Manifest {
  readonly dependencies?: Readonly<Record<string, string>>;
}

function manifestOf(file: string): Manifest | undefined {
  const root = /^(.*\/packages\/[^/]+)\//.exec(file)?.[1];
  if (!root) return undefined;
  return JSON.parse(readFileSync(join(root, 'package.json'), 'utf8')) as Manifest;
}

/** Reports imports of undeclared workspace packages, and relative imports across packages. */
export const packageLayers: Rule.RuleModule = {
  meta: {
    type: 'problem',
    messages: {
      undeclared: '{{name}} is imported but not declared in the dependencies of this package',
      crossPackagePath: 'import other packages by name, not by path',
    },
  },
  create(context) {
    const dependencies = manifestOf(context.filename)?.dependencies;
    if (!dependencies) return {};
    return {
      ImportDeclaration(node) {
        const name = String(node.source.value);
        if (
          name.startsWith('.') &&
          join(dirname(context.filename), name)
            .replace(/^.*\/packages\//, '')
            .split('/')[0] !== context.filename.replace(/^.*\/packages\//, '').split('/')[0]
        ) {
          context.report({ node, messageId: 'crossPackagePath' });
        }
        const isInternal = name.startsWith(SCOPE);
        if (isInternal && !(name in dependencies)) {
          context.report({ node, messageId: 'undeclared', data: { name } });
        }
      },
    };
  },
};
