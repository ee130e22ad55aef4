type Labels = Readonly<Record<string, string>>;

/** Returns whether `labels` contains every label in `required`. */
export function hasLabels(labels: Labels, required: Labels): boolean {
  return Object.entries(required).every(([name, value]) => labels[name] === value);
}
