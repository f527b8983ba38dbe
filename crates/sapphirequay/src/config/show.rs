//! `sapphirequay config show`: prints a section for editing.

use {
    crate::{
        operator::{Operator, operator_args, unexpected_reply},
        section_file::SectionFile,
    },
    quay_config::{Image, SectionRevision},
    sapphirequayd::{ControlReply, ControlRequest},
    serde_json::json,
    std::error::Error,
};

operator_args!(
    /// Arguments of `config show`.
    ShowArgs {
        #[options(free, required, help = "name of the section")]
        section: String,
    }
);

/// Reads the complete active configuration.
pub fn image(operator: &mut Operator) -> Result<Box<Image>, Box<dyn Error>> {
    match operator.request(&ControlRequest::Image)? {
        ControlReply::Image(image) => Ok(image),
        other => Err(unexpected_reply(&other)),
    }
}

/// Section in the file format for editing; empty if the section does not exist
/// yet.
pub fn section_file(image: &Image, name: &str) -> SectionFile {
    let section = image.sections.get(name);
    SectionFile {
        section: name.into(),
        base: section.map_or_else(SectionRevision::default, |section| SectionRevision {
            version: section.version,
            digest: section.digest,
        }),
        text: section.map_or_else(Box::default, |section| section.text.clone()),
    }
}

/// Prints the section as an editable file or as JSON.
pub fn run(args: &ShowArgs) -> Result<(), Box<dyn Error>> {
    let file = section_file(&*image(&mut args.connect()?)?, &args.section);
    if args.json {
        let value = json!({
            "section": file.section, "version": file.base.version,
            "digest": file.base.digest.to_string(), "text": file.text,
        });
        println!("{value}");
    } else {
        print!("{file}");
    }
    Ok(())
}
