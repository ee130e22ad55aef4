import type { Rule } from 'eslint';
import { AST_NODE_TYPES } from '@typescript-eslint/utils';
import type { TSESTree } from '@typescript-eslint/utils';

function declaredNames(node: TSESTree.ExportNamedDeclaration): readonly string[] {
  const { declaration } = node;
  if (!declaration)
    return node.specifiers.map((item) => ('name' in item.exported ? item.exported.name : ''));
  if (declaration.type === AST_NODE_TYPES.VariableDeclaration) {
    return declaration.declarations.map((item) => ('name' in item.id ? item.id.name : ''));
  }
  return 'id' in declaration && declaration.id && 'name' in declaration.id
    ? [declaration.id.name]
    : [];
}

/** Reports modules that export more than one name. A value and a type with the same name count as one. */
export const oneExport: Rule.RuleModule = {
  meta: {
    type: 'problem',
    messages: { tooMany: 'a file may export only one name; found {{names}}' },
  },
  create(context) {
    const names = new Set<string>();
    return {
      ExportNamedDeclaration(node) {
        for (const name of declaredNames(node as unknown as TSESTree.ExportNamedDeclaration))
          names.add(name);
      },
      ExportDefaultDeclaration() {
        names.add('default');
      },
      'Program:exit'(node) {
        if (names.size < 2) return;
        context.report({ node, messageId: 'tooMany', data: { names: [...names].join(', ') } });
      },
    };
  },
};
