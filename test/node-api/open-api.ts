import { readFileSync } from 'node:fs';
import * as z from 'zod';

type Json = Readonly<Record<string, unknown>>;

interface Media {
  readonly schema: Json;
}
interface Answer {
  readonly $ref?: string;
  readonly content?: Readonly<Record<string, Media>>;
}
interface Operation {
  readonly operationId: string;
  readonly tags: readonly string[];
  readonly responses: Readonly<Record<string, Answer>>;
}
interface OpenApi {
  readonly paths: Readonly<Record<string, Readonly<Record<string, Operation>>>>;
  readonly components: {
    readonly schemas: Readonly<Record<string, Json>>;
    readonly responses: Readonly<Record<string, Answer>>;
  };
}

const DOCUMENT_URL = new URL('../../docs/openapi.json', import.meta.url);
const document = JSON.parse(readFileSync(DOCUMENT_URL, 'utf8')) as OpenApi;

/** Replaces references by the schemas they name; the document has no recursive schemas. */
function resolveReferences(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(resolveReferences);
  if (typeof value !== 'object' || value === null) return value;
  if ('$ref' in value)
    return resolveReferences(document.components.schemas[nameOf(String(value.$ref))]);
  return Object.fromEntries(
    Object.entries(value).map(([name, item]) => [name, resolveReferences(item)]),
  );
}

function nameOf(reference: string): string {
  return reference.split('/').at(-1) ?? '';
}

function schemaOf(node: unknown): z.ZodType {
  return z.fromJSONSchema(resolveReferences(node) as Parameters<typeof z.fromJSONSchema>[0]);
}

/** Documented operations by `METHOD path`. */
export const operations: ReadonlyMap<string, Operation> = new Map(
  Object.entries(document.paths).flatMap(([path, methods]) =>
    Object.entries(methods).map(([method, operation]) => [
      `${method.toUpperCase()} ${path}`,
      operation,
    ]),
  ),
);

/** Differences between `data` and the documented schema `name`. */
export function problemsOfSchema(name: string, data: unknown): readonly string[] {
  const result = schemaOf(document.components.schemas[name]).safeParse(data);
  return result.success
    ? []
    : result.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
}

/** Differences between a response and the documented responses of the operation. */
export async function problemsOfAnswer(
  operationName: string,
  answer: Response,
): Promise<readonly string[]> {
  const documented = operations.get(operationName)?.responses[String(answer.status)];
  if (!documented) return [`status ${answer.status} is not documented`];
  const { content = {} } =
    documented.$ref === undefined
      ? documented
      : (document.components.responses[nameOf(documented.$ref)] ?? {});
  const type = (answer.headers.get('content-type') ?? '').split(';')[0] ?? '';
  const media = content[type];
  if (!media) return [`content type ${type} is not documented for status ${answer.status}`];
  const text = await answer.text();
  const data: unknown = type.endsWith('json') ? JSON.parse(text) : text;
  const result = schemaOf(media.schema).safeParse(data);
  return result.success
    ? []
    : result.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
}
