import type { Rule } from 'eslint';
import { AST_NODE_TYPES } from '@typescript-eslint/utils';
import type { TSESTree } from '@typescript-eslint/utils';

const MUTABLE_TYPES: ReadonlySet<string> = new Set(['Array', 'Map', 'Set']);

/** Reports members of interfaces and type literals that are assignable or hold a mutable collection. */
export const readOnlyData: Rule.RuleModule = {
  meta: {
    type: 'problem',
    messages: {
      property: 'data types are read-only: declare this member as readonly',
      collection: 'data types are read-only: use the read-only type of this collection',
    },
  },
  create(context) {
    function checkMember(node: Rule.Node): void {
      const member = node as unknown as TSESTree.TSPropertySignature | TSESTree.TSIndexSignature;
      if (!member.readonly) context.report({ node, messageId: 'property' });
      checkType(node, member.typeAnnotation?.typeAnnotation);
    }
    function checkType(node: Rule.Node, type: TSESTree.TypeNode | undefined): void {
      if (!type) return;
      const isArray =
        type.type === AST_NODE_TYPES.TSArrayType || type.type === AST_NODE_TYPES.TSTupleType;
      const isCollection =
        type.type === AST_NODE_TYPES.TSTypeReference &&
        type.typeName.type === AST_NODE_TYPES.Identifier &&
        MUTABLE_TYPES.has(type.typeName.name);
      if (isArray || isCollection) context.report({ node, messageId: 'collection' });
    }
    return { TSPropertySignature: checkMember, TSIndexSignature: checkMember };
  },
};
